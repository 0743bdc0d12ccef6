/** What a VM knows of a database group: observations, positions and acknowledgement of writes. */
package org.toucanmast.core.group;
