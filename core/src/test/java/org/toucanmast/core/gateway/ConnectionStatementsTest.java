package org.toucanmast.core.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.NotEmpty;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.statement.Access;
import org.toucanmast.core.statement.PreparedShape;

class ConnectionStatementsTest {
  private final ConnectionStatements statements = new ConnectionStatements();

  /** A name that came back after a refused preparation would run the statement that it had been. */
  @Property(tries = 200, seed = "20261207")
  void should_give_each_statement_another_short_word(
      @ForAll @Size(max = 60) List<@NotEmpty String> shapes) {
    ConnectionStatements connection = new ConnectionStatements();
    Set<String> names = new HashSet<>();
    for (String shape : shapes) {
      PreparedShape statement = new PreparedShape(Access.READ, shape);
      if (connection.contains(statement)) {
        connection.clear();
      }
      String name = connection.add(statement);
      assertThat(name).matches("s[0-9a-z]+");
      assertThat(name.length()).isLessThanOrEqualTo(ConnectionStatements.MAXIMUM_NAME_LENGTH);
      assertThat(names.add(name)).as("name %s is new", name).isTrue();
      assertThat(connection.name(statement)).isEqualTo(name);
    }
  }

  @Test
  void should_tell_reads_and_writes_of_one_shape_apart() {
    String read = statements.add(new PreparedShape(Access.READ, "q"));
    String write = statements.add(new PreparedShape(Access.WRITE, "q"));

    assertThat(read).isNotEqualTo(write);
  }

  @Test
  void should_know_no_name_of_a_statement_that_was_dropped() {
    PreparedShape statement = new PreparedShape(Access.READ, "q");
    statements.add(statement);
    statements.clear();

    assertThat(statements.contains(statement)).isFalse();
    assertThatThrownBy(() -> statements.name(statement))
        .isInstanceOf(IllegalArgumentException.class);
  }

  /** Connections of a gateway kept every statement that any session had ever prepared. */
  @Test
  void should_be_too_large_with_many_or_long_statements() {
    statements.add(new PreparedShape(Access.READ, "x".repeat(300_000)));
    assertThat(statements.isTooLarge()).isTrue();
    statements.clear();
    assertThat(statements.isTooLarge()).isFalse();
    for (int number = 0; number <= 1_000; number++) {
      statements.add(new PreparedShape(Access.READ, "q" + number));
    }
    assertThat(statements.isTooLarge()).isTrue();
  }
}
