package org.primrosegauge.core.job;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.Optional;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;

/**
 * Determines the home failure domain of a job from its id alone, so that every instance routes a
 * repeated submission to the same domain leader, also during a network partition between domains.
 *
 * <p>An id may start with the name of its home domain: {@code klang.plan-17}. For any other id the
 * home is the domain with the highest random weight (rendezvous hashing, Thaler and Ravishankar
 * 1998), so that a change to the set of domains moves few ids.
 *
 * <p>Stateless.
 *
 * @since 0.1
 */
public final class HomeDomains {

  /** Separates the name of the home domain from the rest of a job id. */
  public static final char SEPARATOR = '.';

  private HomeDomains() {}

  /**
   * Returns the home domain of a job. The longest domain name that prefixes the id wins.
   *
   * @param job id of the job
   * @param domains all configured failure domains
   * @return the home domain; empty only when there are no domains
   * @since 0.1
   */
  public static Optional<FailureDomainId> homeOf(JobId job, Collection<FailureDomainId> domains) {
    Optional<FailureDomainId> prefix =
        domains.stream()
            .filter(domain -> job.value().startsWith(domain.value() + SEPARATOR))
            .max(Comparator.comparingInt(domain -> domain.value().length()));
    return prefix.isPresent()
        ? prefix
        : domains.stream().max(Comparator.comparing(domain -> weight(domain, job)));
  }

  /**
   * Returns a job id that starts with the name of its home domain.
   *
   * @param domain home domain of the job
   * @param name rest of the id, after the separator
   * @since 0.1
   */
  public static JobId jobIdWithHome(FailureDomainId domain, String name) {
    return new JobId(domain.value() + SEPARATOR + name);
  }

  private static String weight(FailureDomainId domain, JobId job) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      byte[] input = (domain.value() + '/' + job.value()).getBytes(StandardCharsets.UTF_8);
      return HexFormat.of().formatHex(sha256.digest(input));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available on this Java platform", e);
    }
  }
}
