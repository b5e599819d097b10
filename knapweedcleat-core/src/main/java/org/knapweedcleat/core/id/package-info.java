/** Identifiers of the entities that the router works with. */
package org.knapweedcleat.core.id;
