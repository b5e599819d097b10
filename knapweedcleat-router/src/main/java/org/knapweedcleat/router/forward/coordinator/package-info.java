/** Finds and queries the instance that coordinates something for other instances. */
package org.knapweedcleat.router.forward.coordinator;
