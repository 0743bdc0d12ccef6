package org.toucanmast.standin.database;

import java.util.List;

/**
 * An entry of the replicated log: a committed write.
 *
 * @param term the term of the primary that wrote it
 * @param request the caller's request
 * @param statements the executed statements
 * @param rows the rows of the statements' results
 * @param writtenAt the time of the write, in milliseconds since the epoch
 */
record LogEntry(
    long term, RequestKey request, List<String> statements, List<String> rows, long writtenAt) {}
