package org.toucanmast.core.request;

import java.util.Locale;
import java.util.OptionalInt;

/** Reason why a request ended without a result, with its HTTP status and implied outcome. */
public enum Refusal {
  /** The request is malformed. */
  MALFORMED(400, Outcome.NOT_RUN, "the request is not well formed"),
  /** The request has no API key, or one that is not accepted. */
  UNAUTHENTICATED(401, Outcome.NOT_RUN, "the key is missing or not accepted"),
  /** The customer of the API key is not allowed to make this request. */
  FORBIDDEN(403, Outcome.NOT_RUN, "this customer may not use this database now"),
  /** The path, route or transaction does not exist. */
  NOT_FOUND(404, Outcome.NOT_RUN, "there is nothing at this path"),
  /** The transaction was rolled back. */
  ROLLED_BACK(409, Outcome.NOT_RUN, "the transaction was rolled back"),
  /** Another statement of the transaction is running. */
  TRANSACTION_BUSY(409, Outcome.NOT_RUN, "another statement of the transaction is running"),
  /** The session has seen a write that was lost in a change of primary. */
  LOST_WRITE(409, Outcome.NOT_RUN, "the session has seen a write that was lost"),
  /** The request was not received completely in time. */
  TOO_SLOW(408, Outcome.NOT_RUN, "the request did not arrive whole in time"),
  /** The request exceeds the size limit of the settings. */
  TOO_LARGE(413, Outcome.NOT_RUN, "the request is too large"),
  /** The database refused the statement. */
  REFUSED_BY_DATABASE(422, Outcome.NOT_RUN, "the database refused the statement"),
  /** The customer has exceeded its allowance. */
  OVER_ALLOWANCE(429, Outcome.NOT_RUN, "the customer is above its rate and burst"),
  /** Too many requests of the customer are waiting. */
  QUEUE_FULL(503, Outcome.NOT_RUN, "too many requests are waiting"),
  /** No endpoint can run the request in time. */
  UNAVAILABLE(503, Outcome.NOT_RUN, "no endpoint could run the request in time"),
  /** The VM cannot confirm which API keys are valid, because its configuration may be outdated. */
  KEYS_NOT_FRESH(503, Outcome.NOT_RUN, "this VM cannot confirm which keys are valid"),
  /** The API key has passed to another customer since the request was accepted. */
  KEY_MOVED(503, Outcome.NOT_RUN, "the key belongs to another customer by now"),
  /** The VM is shutting down. */
  STOPPING(503, Outcome.NOT_RUN, "this VM is stopping"),
  /** The request was sent to an endpoint, and no conclusive reply was received. */
  OUTCOME_UNKNOWN(504, Outcome.UNKNOWN, "the request was sent and its outcome is not known");

  private final int status;
  private final Outcome outcome;
  private final String message;

  Refusal(int status, Outcome outcome, String message) {
    this.status = status;
    this.outcome = outcome;
    this.message = message;
  }

  /** Returns the HTTP status code. */
  public int status() {
    return status;
  }

  /** Returns whether the request ran. */
  public Outcome outcome() {
    return outcome;
  }

  /**
   * Returns after how many seconds the caller should send the request again, or empty if there is
   * no better time than any. Another VM can serve a request that a stopping one refuses: the load
   * balancer has had the announced time to take the stopping VM out, and the refusal closes the
   * connection. A request whose key has moved is served for the customer that holds it now.
   */
  public OptionalInt retryAfterInSeconds() {
    return this == STOPPING || this == KEY_MOVED ? OptionalInt.of(0) : OptionalInt.empty();
  }

  /** Returns the message for the caller, a single line. */
  public String message() {
    return message;
  }

  /** Returns the code that callers receive, for example {@code over-allowance}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
