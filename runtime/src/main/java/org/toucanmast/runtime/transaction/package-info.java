/** Transactions, each pinned to one connection at one VM. */
package org.toucanmast.runtime.transaction;
