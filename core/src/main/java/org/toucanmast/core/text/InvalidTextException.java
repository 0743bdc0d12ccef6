package org.toucanmast.core.text;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when sections of key-value pairs do not conform to their schema; carries all problems. */
public final class InvalidTextException extends Exception {
  private final transient List<TextProblem> problems;

  /** Creates an exception with at least one problem; its message has one line per problem. */
  public InvalidTextException(List<TextProblem> problems) {
    super(problems.stream().map(TextProblem::describe).collect(Collectors.joining("\n")));
    this.problems = List.copyOf(problems);
  }

  /** Returns all problems in the order in which they were found. */
  public List<TextProblem> problems() {
    return problems;
  }
}
