package org.toucanmast.runtime.fleet;

import org.toucanmast.schema.UsageReceipt;
import org.toucanmast.schema.UsageTotals;

/** Handles the messages about usage that arrive over links; all calls are on the event loop. */
public interface UsageMessageHandler {
  /** Records the totals of a VM and returns which of them are confirmed. */
  UsageReceipt onUsageTotals(UsageTotals totals);

  /** Handles the confirmation of this VM's totals by another VM. */
  void onUsageReceipt(String vm, UsageReceipt receipt);
}
