/** A stand-in of the platform: objects with versions, conditional updates, watches, VM list. */
package org.toucanmast.standin.platform;
