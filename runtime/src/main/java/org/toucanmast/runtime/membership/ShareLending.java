package org.toucanmast.runtime.membership;

import org.toucanmast.core.allowance.AllowanceHolder;
import org.toucanmast.core.allowance.ShareLender;
import org.toucanmast.core.membership.EpochAdoption;

/**
 * The components that lend and hold the VMs' shares of the allowances.
 *
 * @param epochGate decides which epoch of members this VM may act on
 * @param lender lends the shares of this VM
 * @param holder holds the buckets made of the shares that are lent to this VM
 */
public record ShareLending(EpochAdoption epochGate, ShareLender lender, AllowanceHolder holder) {}
