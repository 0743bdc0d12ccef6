/** The configuration in force for sessions: routes, customers and database groups. */
package org.toucanmast.core.catalog;
