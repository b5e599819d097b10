/** Interfaces between request handling and the other services of the fleet. */
package org.knapweedcleat.router.gate;
