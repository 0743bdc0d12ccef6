/** The configuration of the fleet: customers, databases, endpoints, data centres and routes. */
package org.toucanmast.core.configuration;
