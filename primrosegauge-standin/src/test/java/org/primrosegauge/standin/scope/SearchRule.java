package org.primrosegauge.standin.scope;

/** What a searched sequence may break. */
enum SearchRule {
  /** A job that was accepted is neither run to its end nor kept, although it can be. */
  LOST,

  /** A task runs that no caller asks for, or not any more. */
  UNASKED,

  /** A task runs before its time. */
  EARLY,

  /** A task runs on a worker of another service, without its label or beside too many others. */
  ROUTE,

  /** A task starts long after its worker's drain was acknowledged. */
  DRAIN,

  /** A task starts long after its domain was taken out of service. */
  DOMAIN_OUT,

  /** A member of a gang ends because the others did not come. */
  GANG,

  /** The number of jobs of which no task has begun is too small. */
  PENDING,

  /** A job within the guarantee of its customer does not begin in time. */
  GUARANTEE,

  /** What the checker of the emulated scope watches in all simulations. */
  CHECKER
}
