/** Asks a region's placement coordinator, one of its instances, where a stream may run. */
package org.knapweedcleat.router.forward.room;
