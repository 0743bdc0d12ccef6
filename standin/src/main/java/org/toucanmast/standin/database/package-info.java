/** A stand-in of a database group: terms, a replicated log, lag, slots, fencing, faults. */
package org.toucanmast.standin.database;
