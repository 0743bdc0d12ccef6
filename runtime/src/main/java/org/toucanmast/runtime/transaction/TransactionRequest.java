package org.toucanmast.runtime.transaction;

import org.toucanmast.runtime.request.CallerRequest;
import org.toucanmast.schema.TransactionStep;

/**
 * One step of an open transaction.
 *
 * @param handle the transaction
 * @param step what is asked
 * @param request the caller's request; its database is not used
 */
public record TransactionRequest(
    TransactionHandle handle, TransactionStep step, CallerRequest request) {}
