/** Fault injection and the request and option handling that the stubs share. */
package org.knapweedcleat.standins.fault;
