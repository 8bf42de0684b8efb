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
 * Finds the home failure domain of a job from its id alone, so that every instance sends a repeated
 * submission to the same keeper, also while domains are cut off from each other.
 *
 * <p>An id may name its home: {@code klang.plan-17}. For any other id it is the domain with the
 * highest random weight (rendezvous hashing, Thaler and Ravishankar 1998), so that a change of the
 * set of domains moves few ids.
 *
 * <p>Stateless.
 *
 * @since 0.1
 */
public final class HomeDomains {

  /** Separates the home domain from the rest of an id. */
  public static final char SEPARATOR = '.';

  private HomeDomains() {}

  /**
   * Returns the home of a job.
   *
   * @param job id of the job
   * @param domains all configured failure domains
   * @return empty only when there are no domains
   * @since 0.1
   */
  public static Optional<FailureDomainId> homeOf(JobId job, Collection<FailureDomainId> domains) {
    Optional<FailureDomainId> named =
        domains.stream()
            .filter(domain -> job.value().startsWith(domain.value() + SEPARATOR))
            .max(Comparator.comparingInt(domain -> domain.value().length()));
    return named.isPresent()
        ? named
        : domains.stream().max(Comparator.comparing(domain -> weight(domain, job)));
  }

  /**
   * Returns an id that names its home.
   *
   * @param domain home of the job
   * @param name rest of the id
   * @since 0.1
   */
  public static JobId jobIdWithHome(FailureDomainId domain, String name) {
    return new JobId(domain.value() + SEPARATOR + name);
  }

  private static String weight(FailureDomainId domain, JobId job) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      byte[] text = (domain.value() + '/' + job.value()).getBytes(StandardCharsets.UTF_8);
      return HexFormat.of().formatHex(sha256.digest(text));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
