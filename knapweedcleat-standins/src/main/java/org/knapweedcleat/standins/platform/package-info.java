/** The platform's configuration service and its list of instances. */
package org.knapweedcleat.standins.platform;
