package review;

/** A transaction or single write that a backend committed. */
final class Commit {
  final long term;
  final long number;
  final String requestId;
  final String origin;

  /** When the client received the success; not yet, if infinite. */
  volatile double acknowledgedAt = Double.POSITIVE_INFINITY;

  /** Whether a promotion rolled the commit back. */
  volatile boolean rolledBack;

  Commit(long term, long number, String requestId, String origin) {
    this.term = term;
    this.number = number;
    this.requestId = requestId;
    this.origin = origin;
  }

  String position() {
    return term + "." + number;
  }

  boolean isAtOrBefore(long otherTerm, long otherNumber) {
    return term < otherTerm || term == otherTerm && number <= otherNumber;
  }
}
