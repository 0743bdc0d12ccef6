package org.toucanmast.core.request;

import java.util.Locale;

/** Why a request was not answered with a result; each one states the outcome it implies. */
public enum Refusal {
  /** The request is not well formed. */
  MALFORMED(400, Outcome.NOT_RUN, "the request is not well formed"),
  /** No key, or a key that opens nothing. */
  UNAUTHENTICATED(401, Outcome.NOT_RUN, "the key is missing or not accepted"),
  /** The key's customer may not do this. */
  FORBIDDEN(403, Outcome.NOT_RUN, "this customer may not use this database now"),
  /** No such path, route or transaction. */
  NOT_FOUND(404, Outcome.NOT_RUN, "there is nothing at this path"),
  /** The transaction is gone and was rolled back. */
  ROLLED_BACK(409, Outcome.NOT_RUN, "the transaction was rolled back"),
  /** Another statement of the transaction is running. */
  TRANSACTION_BUSY(409, Outcome.NOT_RUN, "another statement of the transaction is running"),
  /** The session has seen a write that a change of primary lost. */
  LOST_WRITE(409, Outcome.NOT_RUN, "the session has seen a write that was lost"),
  /** The request did not arrive whole in time. */
  TOO_SLOW(408, Outcome.NOT_RUN, "the request did not arrive whole in time"),
  /** The request is larger than the limit of the settings. */
  TOO_LARGE(413, Outcome.NOT_RUN, "the request is too large"),
  /** The statement was refused by the database. */
  REFUSED_BY_DATABASE(422, Outcome.NOT_RUN, "the database refused the statement"),
  /** The customer is above its allowance. */
  OVER_ALLOWANCE(429, Outcome.NOT_RUN, "the customer is above its rate and burst"),
  /** Too much work of the customer is waiting. */
  QUEUE_FULL(503, Outcome.NOT_RUN, "too many requests are waiting"),
  /** No endpoint can run it in time. */
  UNAVAILABLE(503, Outcome.NOT_RUN, "no endpoint could run the request in time"),
  /** The VM cannot vouch for its keys. */
  KEYS_NOT_FRESH(503, Outcome.NOT_RUN, "this VM cannot confirm which keys are valid"),
  /** The VM is stopping. */
  STOPPING(503, Outcome.NOT_RUN, "this VM is stopping"),
  /** It was sent, and no answer came that can be trusted. */
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

  /** Returns what is known of the request. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns one line for the caller. */
  public String message() {
    return message;
  }

  /** Returns the word that callers see, for example {@code over-allowance}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
