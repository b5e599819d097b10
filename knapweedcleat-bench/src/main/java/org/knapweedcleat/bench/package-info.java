/** Simulates the core's scheduling and rate limiting in virtual time and reports their quality. */
package org.knapweedcleat.bench;
