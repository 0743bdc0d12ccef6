package org.toucanmast.core.text;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when a text of sections and keys does not follow its schema; carries every problem. */
public final class InvalidTextException extends Exception {
  private final transient List<TextProblem> problems;

  /** Creates the error from at least one problem. */
  public InvalidTextException(List<TextProblem> problems) {
    super(problems.stream().map(TextProblem::describe).collect(Collectors.joining("\n")));
    this.problems = List.copyOf(problems);
  }

  /** Returns all problems in the order of the text. */
  public List<TextProblem> problems() {
    return problems;
  }
}
