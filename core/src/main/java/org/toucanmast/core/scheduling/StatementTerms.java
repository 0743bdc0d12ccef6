package org.toucanmast.core.scheduling;

/**
 * What decides the order of a waiting statement.
 *
 * @param priority the priority; 0 is the highest
 * @param customer the customer that the statement runs for
 * @param primaryOnly whether only the primary can run the statement
 * @param objectiveAt when the objective of the operation ends, in milliseconds
 * @param deadline when the statement must have completed, in milliseconds
 * @param place the number of the statement in the order of arrival; a statement that returns after
 *     a refused attempt keeps it
 */
public record StatementTerms(
    int priority,
    String customer,
    boolean primaryOnly,
    long objectiveAt,
    long deadline,
    long place) {}
