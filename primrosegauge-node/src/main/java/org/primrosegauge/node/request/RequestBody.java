package org.primrosegauge.node.request;

/**
 * Body of a request, passed on untouched.
 *
 * @param mediaType media type
 * @param bytes content
 * @since 0.1
 */
public record RequestBody(String mediaType, byte[] bytes) {}
