/** Tells the coordinators of placement how fast engines are, as observed by other instances. */
package org.knapweedcleat.router.forward.speed;
