package org.toucanmast.core.catalog;

import org.toucanmast.core.configuration.Allowance;

/**
 * Who a key belongs to.
 *
 * @param name the name that endpoints are told
 * @param allowance what the customer may send over all VMs together
 */
public record Customer(String name, Allowance allowance) {}
