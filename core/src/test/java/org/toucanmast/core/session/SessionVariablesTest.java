package org.toucanmast.core.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.toucanmast.core.statement.Access;
import org.toucanmast.core.statement.PreparedShape;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.Statement;

class SessionVariablesTest {
  private static final long MEBI = 1024 * 1024;

  private final SessionStateBudget budget = new SessionStateBudget(32 * MEBI);
  private final SessionVariables session = new SessionVariables(budget);

  private static Statement set(String name, int length) {
    return new Statement.SetValue(name, "x".repeat(length));
  }

  private static Statement prepare(String name, int length) {
    return new Statement.Prepare(name, new PreparedShape(Access.READ, "x".repeat(length)));
  }

  /** One session that prepared ever more statements filled the heap of its VM. */
  @Example
  void should_refuse_ever_more_prepared_statements_of_one_session() {
    int accepted = 0;
    for (int number = 0; number < 2_000; number++) {
      ResultCode code = session.apply(prepare("s" + number, 100_000));
      assertThat(code).isIn(ResultCode.SUCCESS, ResultCode.TOO_BIG);
      accepted += code == ResultCode.SUCCESS ? 1 : 0;
    }

    assertThat(accepted).isEqualTo(20);
    assertThat(budget.length()).isLessThanOrEqualTo(2 * MEBI);
    assertThat(session.prepared("s19")).isPresent();
    assertThat(session.prepared("s20")).isEmpty();
  }

  /** Names alone take memory, too. */
  @Example
  void should_refuse_ever_more_empty_values_of_one_session() {
    int accepted = 0;
    for (int number = 0; number < 100_000; number++) {
      accepted += session.apply(set("v" + number, 0)) == ResultCode.SUCCESS ? 1 : 0;
    }

    assertThat(accepted).isBetween(4_000, 5_000);
    assertThat(session.values()).hasSize(accepted);
  }

  @Example
  void should_accept_one_value_and_one_statement_of_the_maximum_length_of_a_message() {
    assertThat(session.apply(set("v", (int) MEBI))).isEqualTo(ResultCode.SUCCESS);
    assertThat(session.apply(prepare("s", (int) MEBI))).isEqualTo(ResultCode.SUCCESS);
  }

  /** The limit of one session alone let many sessions together fill the heap. */
  @Example
  void should_refuse_large_sessions_together_and_no_usual_one() {
    List<SessionVariables> sessions = new ArrayList<>();
    int refused = 0;
    for (int number = 0; number < 100; number++) {
      SessionVariables large = new SessionVariables(budget);
      sessions.add(large);
      refused += large.apply(prepare("s", (int) MEBI)) == ResultCode.BUSY ? 1 : 0;
    }

    assertThat(refused).isEqualTo(69);
    assertThat(budget.length()).isLessThanOrEqualTo(32 * MEBI);
    assertThat(session.apply(prepare("s1", 20))).isEqualTo(ResultCode.SUCCESS);
    assertThat(session.apply(set("v1", 20))).isEqualTo(ResultCode.SUCCESS);

    sessions.forEach(SessionVariables::clear);
    assertThat(session.apply(prepare("s2", (int) MEBI))).isEqualTo(ResultCode.SUCCESS);
  }

  /** Sessions on open routes kept unknown keys of up to 1 MiB, which filled the heap as well. */
  @Example
  void should_refuse_ever_more_sessions_with_long_keys() {
    List<SessionVariables> sessions = new ArrayList<>();
    for (int number = 0; number < 100; number++) {
      SessionVariables opened = new SessionVariables(budget);
      if (opened.keepKey("x".repeat((int) MEBI))) {
        sessions.add(opened);
      }
    }
    assertThat(sessions).hasSize(32);
    assertThat(session.keepKey("u3f1")).isTrue();

    sessions.forEach(SessionVariables::clear);
    assertThat(budget.length()).isEqualTo("u3f1".length());
  }

  @Example
  void should_keep_the_former_entry_when_its_replacement_is_refused() {
    session.apply(set("v", 10));
    assertThat(session.apply(set("v", 3 * (int) MEBI))).isEqualTo(ResultCode.TOO_BIG);

    assertThat(session.values()).containsEntry("v", "x".repeat(10));
  }

  @Example
  void should_report_an_unknown_statement_as_such() {
    assertThat(session.apply(new Statement.Deallocate("s"))).isEqualTo(ResultCode.NO_STATEMENT);
    assertThat(budget.length()).isZero();
  }

  /** Lengths that are not given back would refuse callers for ever. */
  @Property(seed = "46", tries = 200)
  void should_count_what_is_kept(
      @ForAll @Size(max = 60) List<@IntRange(max = 1_199) Integer> codes) {
    Map<String, Integer> kept = new HashMap<>();
    for (int code : codes) {
      int length = 1 + code / 12 * 5_000;
      String name = "n" + code % 4;
      Statement statement =
          switch (code / 4 % 3) {
            case 0 -> set(name, length);
            case 1 -> prepare(name, length);
            default -> new Statement.Deallocate(name);
          };
      if (session.apply(statement) == ResultCode.SUCCESS) {
        if (statement instanceof Statement.SetValue) {
          kept.put("value " + name, length);
        } else if (statement instanceof Statement.Prepare) {
          kept.put("statement " + name, length);
        } else {
          kept.remove("statement " + name);
        }
      }
      long expected =
          kept.values().stream()
              .mapToLong(text -> SessionVariables.ENTRY_LENGTH + name.length() + text)
              .sum();
      assertThat(budget.length()).isEqualTo(expected);
    }
    session.clear();
    assertThat(budget.length()).isZero();
  }
}
