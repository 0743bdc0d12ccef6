package org.toucanmast.runtime.membership;

import org.toucanmast.core.allowance.AllowanceHolder;
import org.toucanmast.core.allowance.ShareLender;
import org.toucanmast.core.membership.EpochAdoption;

/**
 * This VM's part in the sharing of allowances.
 *
 * @param epochs which members share, as far as this VM may act on it
 * @param lender to whom this VM lends its own shares
 * @param holder the buckets of shares that are lent to this VM
 */
public record Shares(EpochAdoption epochs, ShareLender lender, AllowanceHolder holder) {}
