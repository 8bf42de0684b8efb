package org.primrosegauge.core.keeper;

import java.util.List;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.keeper.cfg.KeeperSettings;

/** Maps states with the same future to one, so that the exploration ends. */
final class KeeperNormalizer {

  private KeeperNormalizer() {}

  /** Returns the state with times in the past, and numbers that no longer matter, made equal. */
  static KeeperSnapshot keeper(KeeperSnapshot s, KeeperSettings settings) {
    boolean holds = !s.office().equals(Term.NONE);
    boolean asks = holds && s.round() > 0;
    long oldest = -settings.holderMillis();
    return new KeeperSnapshot(
        Math.max(0, s.recoveryUntil()),
        Math.max(0, Math.max(s.promiseUntil(), s.recoveryUntil())),
        s.highest(),
        s.office(),
        holds,
        holds ? Math.max(0, s.leaseUntil()) : 0,
        s.sets(),
        s.sets().isChanging() ? Math.max(0, s.acknowledgeAt()) : 0,
        asks ? 1 : 0,
        asks ? Math.max(oldest, s.roundSentAt()) : 0,
        asks ? s.grants() : List.of(),
        s.requestOpen() ? 1 : 0,
        s.requestOpen(),
        s.requestOpen() ? Math.max(oldest, s.requestSentAt()) : 0,
        0);
  }

  /** Returns the state after some time on the instance's own clock. */
  static KeeperSnapshot aged(KeeperSnapshot s, long millis, KeeperSettings settings) {
    KeeperSnapshot aged =
        new KeeperSnapshot(
            s.recoveryUntil() - millis,
            s.promiseUntil() - millis,
            s.highest(),
            s.office(),
            s.announced(),
            s.leaseUntil() - millis,
            s.sets(),
            s.acknowledgeAt() - millis,
            s.round(),
            s.roundSentAt() - millis,
            s.grants(),
            s.request(),
            s.requestOpen(),
            s.requestSentAt() - millis,
            0);
    return keeper(aged, settings);
  }

  /** Returns the state after its open round is given up. */
  static KeeperSnapshot withoutRound(KeeperSnapshot s) {
    return new KeeperSnapshot(
        s.recoveryUntil(),
        s.promiseUntil(),
        s.highest(),
        s.office(),
        s.announced(),
        s.leaseUntil(),
        s.sets(),
        s.acknowledgeAt(),
        0,
        0,
        List.of(),
        s.request(),
        s.requestOpen(),
        s.requestSentAt(),
        0);
  }

  /** Returns the state after its open proposal is given up. */
  static KeeperSnapshot withoutRequest(KeeperSnapshot s) {
    return new KeeperSnapshot(
        s.recoveryUntil(),
        s.promiseUntil(),
        s.highest(),
        s.office(),
        s.announced(),
        s.leaseUntil(),
        s.sets(),
        s.acknowledgeAt(),
        s.round(),
        s.roundSentAt(),
        s.grants(),
        0,
        false,
        0,
        0);
  }

  static KeeperOfficeState agedOffice(KeeperOfficeState state, long millis) {
    long until = Math.max(0, state.grantedUntilMillis());
    return new KeeperOfficeState(
        state.office(), Math.max(0, until - millis), state.acknowledgements());
  }

  static long mix(long hash, KeeperSnapshot s) {
    long result = mix(hash, s.recoveryUntil());
    result = mix(result, s.promiseUntil());
    result = mix(result, s.highest().number());
    result = mix(result, s.office().number());
    result = mix(result, s.leaseUntil());
    result = mix(result, s.sets().hashCode());
    result = mix(result, s.acknowledgeAt());
    result = mix(result, s.round());
    result = mix(result, s.roundSentAt());
    result = mix(result, s.grants().hashCode());
    result = mix(result, s.requestOpen() ? 1 : 0);
    return mix(result, s.requestSentAt());
  }

  /** One step of SplitMix64 (Steele, Lea and Flood, 2014). */
  static long mix(long hash, long value) {
    long z = (hash ^ value) + 0x9E3779B97F4A7C15L;
    z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }
}
