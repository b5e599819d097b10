/** Keeps the requests of all instances to an endpoint within the rate that the endpoint accepts. */
package org.knapweedcleat.core.throttle;
