package org.toucanmast.standin.database;

import java.util.List;

/**
 * One entry of the replicated log.
 *
 * @param term the term in which it was written
 * @param requestId the caller's request
 * @param statements what it does
 * @param rows what it answered
 * @param writtenAt when, in milliseconds
 */
record LogEntry(
    long term, String requestId, List<String> statements, List<String> rows, long writtenAt) {}
