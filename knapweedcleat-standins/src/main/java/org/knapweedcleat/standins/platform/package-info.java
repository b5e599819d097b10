/** Stub of the platform's configuration service and instance list. */
package org.knapweedcleat.standins.platform;
