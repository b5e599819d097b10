/** Value types that name the things the router works with. */
package org.knapweedcleat.core.id;
