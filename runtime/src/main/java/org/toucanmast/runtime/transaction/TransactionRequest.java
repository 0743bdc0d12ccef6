package org.toucanmast.runtime.transaction;

import org.toucanmast.runtime.request.CallerRequest;
import org.toucanmast.schema.TransactionStep;

/**
 * A request to run one step of an open transaction.
 *
 * @param handle identifies the transaction
 * @param step the kind of step
 * @param request the caller's request; its database is ignored
 */
public record TransactionRequest(
    TransactionHandle handle, TransactionStep step, CallerRequest request) {}
