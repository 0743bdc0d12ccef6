package org.toucanmast.runtime.membership;

import org.toucanmast.core.allowance.Holder;
import org.toucanmast.core.allowance.Lender;
import org.toucanmast.core.membership.EpochGate;

/**
 * The components that lend and hold the VMs' shares of the allowances.
 *
 * @param epochGate decides which epoch of members this VM may act on
 * @param lender lends the shares of this VM
 * @param holder holds the buckets made of the shares that are lent to this VM
 */
public record ShareLending(EpochGate epochGate, Lender lender, Holder holder) {}
