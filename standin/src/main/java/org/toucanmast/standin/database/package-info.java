/**
 * The stand-in of a database group: endpoints with terms, fencing, a replicated log with lag, a
 * limit of concurrent calls, and injected faults.
 */
package org.toucanmast.standin.database;
