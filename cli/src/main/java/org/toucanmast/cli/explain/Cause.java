package org.toucanmast.cli.explain;

import java.util.List;
import java.util.Optional;
import org.toucanmast.core.access.KeyClaim;
import org.toucanmast.core.stop.StopPhase;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.gateway.GroupGateway;

/**
 * The cause of a request's failure or long duration, derived from the log lines of the request.
 *
 * <p>The causes are checked in the order of declaration; the first one that matches is reported.
 */
public enum Cause {
  /** The customer had used up its allowance. */
  ALLOWANCE_USED_UP(
      "The customer had used up its allowance; the request did not run.",
      List.of(EventKind.CONFIGURATION, EventKind.ALLOWANCE, EventKind.MEMBERSHIP)) {
    @Override
    boolean matches(RequestLines lines) {
      return lines.outcomeReason().contains("is used up");
    }
  },
  /** The VM that holds the token bucket of the allowance did not answer. */
  KEEPER_SILENT(
      "The holder of the customer's allowance did not answer in time; the request did not run.",
      List.of(EventKind.MEMBERSHIP, EventKind.PROCESS)) {
    @Override
    boolean matches(RequestLines lines) {
      return lines.outcomeReason().contains("keeper is silent");
    }
  },
  /** The API key passed to another customer, or was withdrawn, before the request was sent. */
  KEY_MOVED(
      "The key passed to another customer, or was withdrawn, while the request waited or its"
          + " transaction was open; nothing of it is kept.",
      List.of(EventKind.CONFIGURATION)) {
    @Override
    boolean matches(RequestLines lines) {
      return lines.outcomeReason().startsWith(KeyClaim.NOT_HELD);
    }
  },
  /** The API key or the database was not in the configuration. */
  NOT_ALLOWED(
      "The configuration in force at the VM does not permit the request.",
      List.of(EventKind.CONFIGURATION)) {
    @Override
    boolean matches(RequestLines lines) {
      return List.of("NO_CUSTOMER", "NO_DATABASE").contains(lines.outcomeCode());
    }
  },
  /** The VM of the session, or that of the gateway, was stopping. */
  VM_STOPPED(
      "The VM that took the request, or the one of its gateway, was stopping.",
      List.of(EventKind.PROCESS, EventKind.MEMBERSHIP)) {
    @Override
    boolean matches(RequestLines lines) {
      return List.of(StopPhase.REASON, GroupGateway.CLOSED).contains(lines.outcomeReason());
    }
  },
  /** The connection to the endpoint was lost before its answer arrived. */
  CONNECTION_LOST(
      "The connection to the endpoint was lost before its answer arrived.",
      List.of(EventKind.LEADER, EventKind.ENDPOINT, EventKind.PROMOTION)) {
    @Override
    boolean matches(RequestLines lines) {
      return lines.outcomeReason().equals("connection lost");
    }
  },
  /** The link to the gateway was lost before its answer arrived, or no gateway answered. */
  GATEWAY_LOST(
      "The gateway of the database group was lost before its answer arrived, or none answered.",
      List.of(EventKind.MEMBERSHIP, EventKind.PROCESS)) {
    @Override
    boolean matches(RequestLines lines) {
      return lines.outcomeReason().equals("gateway lost")
          || lines.outcomeReason().equals("no gateway answered")
          || lines.outcomeReason().isEmpty() && lines.hasEvent("gateway lost");
    }
  },
  /** The group had no usable primary when the request ended at the gateway. */
  NO_PRIMARY(
      "The database group had no usable primary while the request was at its gateway.",
      List.of(EventKind.LEADER, EventKind.PROMOTION, EventKind.ENDPOINT, EventKind.CONFIGURATION)) {
    @Override
    boolean matches(RequestLines lines) {
      return lines
          .lastGatewayLine()
          .filter(line -> line.numericField("without_leader") > 0)
          .isPresent();
    }
  },
  /** The endpoints had no free capacity within the time of the request. */
  FULL(
      "The endpoints were at capacity: the request could not be run within its time limit.",
      List.of(EventKind.ENDPOINT, EventKind.LEADER)) {
    @Override
    boolean matches(RequestLines lines) {
      String reason = lines.outcomeReason();
      return reason.startsWith("expected wait")
          || reason.startsWith("waited too long")
          || reason.startsWith("too many statements")
          || reason.contains("and it is full")
          || reason.equals("no attempt is left");
    }
  },
  /** The endpoint did not answer within the route's timeout. */
  NO_ANSWER(
      "The endpoint did not answer within the route's timeout.",
      List.of(EventKind.ENDPOINT, EventKind.LEADER)) {
    @Override
    boolean matches(RequestLines lines) {
      return lines.outcomeCode().equals("TIMEOUT");
    }
  },
  /** The transaction had already ended. */
  TRANSACTION_ENDED(
      "The transaction had already ended: idle for too long, or lost with its endpoint or gateway.",
      List.of(EventKind.LEADER, EventKind.MEMBERSHIP)) {
    @Override
    boolean matches(RequestLines lines) {
      return lines.outcomeCode().equals("ABORTED");
    }
  },
  /** The request was slow: at least half of its time at the gateway passed in the queue. */
  WAITED(
      "Most of the time was spent in the gateway's queue.",
      List.of(EventKind.ENDPOINT, EventKind.LEADER, EventKind.MEMBERSHIP)) {
    @Override
    boolean matches(RequestLines lines) {
      return lines.isSlow()
          && lines
              .lastGatewayLine()
              .filter(line -> line.numericField("waited") >= line.numericField("ran"))
              .isPresent();
    }
  },
  /** The request was slow: it ran for longer than it waited in the gateway's queue. */
  ENDPOINT_SLOW(
      "Most of the time passed between sending the request to an endpoint and its answer.",
      List.of(EventKind.ENDPOINT, EventKind.LEADER)) {
    @Override
    boolean matches(RequestLines lines) {
      return lines.isSlow() && lines.lastGatewayLine().isPresent();
    }
  },
  /** The request was slow, but no gateway logged it. */
  LINK_SLOW(
      "The request was fast at the gateway, or the gateway's log line is missing: the time passed"
          + " between the VMs, or the VM itself was stalled.",
      List.of(EventKind.MEMBERSHIP, EventKind.PROCESS, EventKind.CLOCK)) {
    @Override
    boolean matches(RequestLines lines) {
      return lines.isSlow();
    }
  },
  /** An endpoint ran the request or refused it, and no earlier cause matched. */
  DATABASE(
      "The result came from the endpoint, which ran the request or refused it.",
      List.of(EventKind.ENDPOINT, EventKind.LEADER)) {
    @Override
    boolean matches(RequestLines lines) {
      return lines.lastGatewayLine().filter(line -> line.numericField("attempts") > 0).isPresent();
    }
  };

  private final String description;
  private final List<EventKind> relatedKinds;

  Cause(String description, List<EventKind> relatedKinds) {
    this.description = description;
    this.relatedKinds = relatedKinds;
  }

  /** Returns whether the log lines of a request show this cause. */
  abstract boolean matches(RequestLines lines);

  /** Returns the first cause that matches, or empty when the log lines show none. */
  static Optional<Cause> of(RequestLines lines) {
    return List.of(values()).stream().filter(cause -> cause.matches(lines)).findFirst();
  }

  /** Returns a description of the cause in a full sentence, for operators. */
  public String description() {
    return description;
  }

  /** Returns the kinds of log lines that can show what led to the cause. */
  List<EventKind> relatedKinds() {
    return relatedKinds;
  }
}
