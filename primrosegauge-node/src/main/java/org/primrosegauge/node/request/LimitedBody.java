package org.primrosegauge.node.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Reads bodies up to a limit. Stateless. */
final class LimitedBody {

  private LimitedBody() {}

  /** Returns the whole body; empty when it is longer than allowed. An error of the body passes. */
  static Mono<byte[]> read(Flux<ByteBuf> content, int maxBytes) {
    return Mono.using(
        Unpooled::buffer,
        collected ->
            content
                .takeUntil(chunk -> append(collected, chunk, maxBytes))
                .then(Mono.fromSupplier(() -> bytesOf(collected, maxBytes))),
        ByteBuf::release);
  }

  /** Tells whether the limit is passed; one byte more than the limit is kept as the sign of it. */
  private static boolean append(ByteBuf collected, ByteBuf chunk, int maxBytes) {
    int room = maxBytes + 1 - collected.readableBytes();
    collected.writeBytes(chunk, Math.min(room, chunk.readableBytes()));
    return collected.readableBytes() > maxBytes;
  }

  private static byte[] bytesOf(ByteBuf collected, int maxBytes) {
    if (collected.readableBytes() > maxBytes) {
      return null;
    }
    byte[] bytes = new byte[collected.readableBytes()];
    collected.readBytes(bytes);
    return bytes;
  }
}
