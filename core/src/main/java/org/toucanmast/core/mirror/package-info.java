/** What VMs pass on of the changes of the store's objects. */
package org.toucanmast.core.mirror;
