/** Starts and stops what a process holds. */
package org.knapweedcleat.router.lifecycle;
