package org.toucanmast.core.catalog;

import org.toucanmast.core.configuration.Allowance;

/**
 * The owner of one or more API keys.
 *
 * @param name the name under which connections to endpoints are opened
 * @param allowance the rate and burst of the customer over all VMs together
 */
public record Customer(String name, Allowance allowance) {}
