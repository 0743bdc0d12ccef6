package org.toucanmast.cli.explain;

import java.util.List;
import java.util.Optional;
import org.toucanmast.runtime.events.EventKind;

/** Why a request failed or took long, as far as its own lines tell; the first that fits counts. */
public enum Cause {
  /** The customer's allowance was used up. */
  ALLOWANCE_USED_UP(
      "The customer had sent what its allowance permits; the request ran nowhere.",
      List.of(EventKind.CONFIGURATION, EventKind.ALLOWANCE, EventKind.MEMBERSHIP)) {
    @Override
    boolean fits(RequestLines lines) {
      return lines.outcomeReason().contains("is used up");
    }
  },
  /** The keeper of the allowance did not answer. */
  KEEPER_SILENT(
      "The VM that keeps the customer's allowance did not answer in time; the request ran nowhere.",
      List.of(EventKind.MEMBERSHIP, EventKind.PROCESS)) {
    @Override
    boolean fits(RequestLines lines) {
      return lines.outcomeReason().contains("keeper is silent");
    }
  },
  /** The key or the database was not in the configuration. */
  NOT_ALLOWED(
      "The configuration in force at the VM does not allow the request.",
      List.of(EventKind.CONFIGURATION)) {
    @Override
    boolean fits(RequestLines lines) {
      return List.of("NO_CUSTOMER", "NO_DATABASE").contains(lines.outcomeCode());
    }
  },
  /** The connection to the endpoint ended before the answer. */
  CONNECTION_LOST(
      "The connection to the endpoint ended before its answer came.",
      List.of(EventKind.LEADER, EventKind.ENDPOINT, EventKind.PROMOTION)) {
    @Override
    boolean fits(RequestLines lines) {
      return lines.outcomeReason().equals("connection lost");
    }
  },
  /** The link to the gateway ended before the answer. */
  GATEWAY_LOST(
      "The VM that served the database group was lost before its answer came.",
      List.of(EventKind.MEMBERSHIP, EventKind.PROCESS)) {
    @Override
    boolean fits(RequestLines lines) {
      return lines.outcomeReason().equals("gateway lost")
          || lines.outcomeReason().equals("no gateway answered")
          || lines.outcomeReason().isEmpty() && lines.has("gateway lost");
    }
  },
  /** No endpoint led the group. */
  NO_PRIMARY(
      "The group had no primary that could be used when the request came.",
      List.of(EventKind.LEADER, EventKind.PROMOTION, EventKind.ENDPOINT, EventKind.CONFIGURATION)) {
    @Override
    boolean fits(RequestLines lines) {
      return lines.atGateway().filter(line -> line.number("without_leader") > 0).isPresent();
    }
  },
  /** The endpoints were full. */
  FULL(
      "The endpoints were full: the request would have waited longer than its time.",
      List.of(EventKind.ENDPOINT, EventKind.LEADER)) {
    @Override
    boolean fits(RequestLines lines) {
      String reason = lines.outcomeReason();
      return reason.startsWith("expected wait")
          || reason.startsWith("waited too long")
          || reason.startsWith("too many statements")
          || reason.contains("and it is full")
          || reason.equals("no attempt is left");
    }
  },
  /** The endpoint did not answer. */
  NO_ANSWER(
      "The endpoint did not answer within the route's timeout.",
      List.of(EventKind.ENDPOINT, EventKind.LEADER)) {
    @Override
    boolean fits(RequestLines lines) {
      return lines.outcomeCode().equals("TIMEOUT");
    }
  },
  /** The transaction had ended before. */
  TRANSACTION_ENDED(
      "The transaction had ended before: rested too long, or lost with its endpoint or gateway.",
      List.of(EventKind.LEADER, EventKind.MEMBERSHIP)) {
    @Override
    boolean fits(RequestLines lines) {
      return lines.outcomeCode().equals("ABORTED");
    }
  },
  /** It waited at the gateway. */
  WAITED(
      "Most of the time passed in the gateway's queue.",
      List.of(EventKind.ENDPOINT, EventKind.LEADER, EventKind.MEMBERSHIP)) {
    @Override
    boolean fits(RequestLines lines) {
      return lines.isSlow()
          && lines
              .atGateway()
              .filter(line -> line.number("waited") >= line.number("ran"))
              .isPresent();
    }
  },
  /** It ran for long. */
  ENDPOINT_SLOW(
      "Most of the time passed between sending the request to an endpoint and its answer.",
      List.of(EventKind.ENDPOINT, EventKind.LEADER)) {
    @Override
    boolean fits(RequestLines lines) {
      return lines.isSlow() && lines.atGateway().isPresent();
    }
  },
  /** The time passed between the VMs. */
  LINK_SLOW(
      "It was quick at the gateway, or the gateway's line is missing: the time passed between the"
          + " VMs, or the VM itself stood still.",
      List.of(EventKind.MEMBERSHIP, EventKind.PROCESS, EventKind.CLOCK)) {
    @Override
    boolean fits(RequestLines lines) {
      return lines.isSlow();
    }
  },
  /** The database itself refused it. */
  DATABASE(
      "The endpoint ran the request, or refused it, and said so.",
      List.of(EventKind.ENDPOINT, EventKind.LEADER)) {
    @Override
    boolean fits(RequestLines lines) {
      return lines.atGateway().filter(line -> line.number("attempts") > 0).isPresent();
    }
  };

  private final String text;
  private final List<EventKind> evidence;

  Cause(String text, List<EventKind> evidence) {
    this.text = text;
    this.evidence = evidence;
  }

  abstract boolean fits(RequestLines lines);

  /** Returns the cause of a request's outcome, or empty when its lines do not tell. */
  static Optional<Cause> of(RequestLines lines) {
    return List.of(values()).stream().filter(cause -> cause.fits(lines)).findFirst();
  }

  /** Returns the cause as a sentence. */
  public String text() {
    return text;
  }

  /** Returns the kinds of lines that tell more. */
  List<EventKind> evidence() {
    return evidence;
  }
}
