package org.toucanmast.runtime.fleet;

import java.util.Optional;
import java.util.OptionalLong;
import org.toucanmast.core.access.KeyClaim;
import org.toucanmast.core.access.KeyFingerprint;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.statement.Access;
import org.toucanmast.core.statement.Operation;
import org.toucanmast.core.statement.PreparedShape;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.RouteKind;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.statement.StatementResult;
import org.toucanmast.schema.LogPosition;
import org.toucanmast.schema.PreparedStatement;
import org.toucanmast.schema.StatementAnswer;
import org.toucanmast.schema.StatementCall;

/**
 * Converts statements and their results to protobuf messages and back.
 *
 * <p>Enum values are sent as ordinals, so the order of their constants is part of the protocol.
 */
final class StatementMessages {
  private static final Operation[] OPERATIONS = Operation.values();
  private static final RouteKind[] ROUTE_KINDS = RouteKind.values();
  private static final ResultCode[] RESULT_CODES = ResultCode.values();

  private StatementMessages() {}

  static StatementCall toCall(long callId, StatementRequest request) {
    StatementCall.Builder call =
        StatementCall.newBuilder()
            .setCallId(callId)
            .setRequestId(request.requestId())
            .setGroup(request.group())
            .setCustomer(request.customer())
            .setOperation(request.operation().ordinal())
            .setText(request.text())
            .putAllValues(request.values())
            .setKind(request.kind().ordinal())
            .setStalenessInMilliseconds(request.stalenessInMilliseconds())
            .setSeen(toMessage(request.seen()))
            .setTransaction(request.transaction())
            .setReadOnly(request.readOnly())
            .setPriority(request.priority())
            .setRemainingInMilliseconds(request.remainingInMilliseconds())
            .setNearbyOnly(request.nearbyOnly())
            .setKeyHigh(request.claim().key().high())
            .setKeyLow(request.claim().key().low())
            .setOpenRoute(request.claim().isOpen())
            .setConfigurationVersion(request.claim().version());
    request
        .prepared()
        .ifPresent(
            shape ->
                call.setPrepared(
                    PreparedStatement.newBuilder()
                        .setWrites(shape.access() == Access.WRITE)
                        .setShape(shape.shape())));
    request.objectiveLeftInMilliseconds().ifPresent(call::setObjectiveLeftInMilliseconds);
    return call.build();
  }

  static StatementRequest toRequest(StatementCall call) {
    Optional<PreparedShape> prepared = Optional.empty();
    if (call.hasPrepared()) {
      Access access = call.getPrepared().getWrites() ? Access.WRITE : Access.READ;
      prepared = Optional.of(new PreparedShape(access, call.getPrepared().getShape()));
    }
    return new StatementRequest(
        call.getRequestId(),
        call.getGroup(),
        toClaim(call),
        OPERATIONS[call.getOperation()],
        call.getText(),
        prepared,
        call.getValuesMap(),
        ROUTE_KINDS[call.getKind()],
        call.getStalenessInMilliseconds(),
        toPosition(call.getSeen()),
        call.getTransaction(),
        call.getReadOnly(),
        call.getPriority(),
        call.getRemainingInMilliseconds(),
        call.hasObjectiveLeftInMilliseconds()
            ? OptionalLong.of(call.getObjectiveLeftInMilliseconds())
            : OptionalLong.empty(),
        call.getNearbyOnly());
  }

  /** A VM of a build without claims states no version; its statements are not checked here. */
  private static KeyClaim<KeyFingerprint> toClaim(StatementCall call) {
    long version = call.getConfigurationVersion();
    return new KeyClaim<>(
        new KeyFingerprint(call.getKeyHigh(), call.getKeyLow()),
        call.getCustomer(),
        call.getOpenRoute(),
        version == 0 ? KeyClaim.UNCHECKED_VERSION : version);
  }

  static StatementAnswer toAnswer(long callId, StatementResult result) {
    return StatementAnswer.newBuilder()
        .setCallId(callId)
        .setCode(result.code().ordinal())
        .addAllRows(result.rows())
        .setText(result.text())
        .setPosition(toMessage(result.position()))
        .setTransaction(result.transaction())
        .build();
  }

  static StatementResult toResult(StatementAnswer answer) {
    return new StatementResult(
        RESULT_CODES[answer.getCode()],
        answer.getRowsList(),
        answer.getText(),
        toPosition(answer.getPosition()),
        answer.getTransaction());
  }

  private static LogPosition toMessage(Position position) {
    return LogPosition.newBuilder().setTerm(position.term()).setIndex(position.index()).build();
  }

  private static Position toPosition(LogPosition message) {
    return new Position(message.getTerm(), message.getIndex());
  }
}
