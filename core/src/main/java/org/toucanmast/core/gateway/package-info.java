/** Where statements meet their connections: which VM, which endpoint, which connection, when. */
package org.toucanmast.core.gateway;
