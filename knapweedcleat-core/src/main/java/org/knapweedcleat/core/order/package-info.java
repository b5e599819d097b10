/** Orders to model engines: what the document declares, repeated until it is so. */
package org.knapweedcleat.core.order;
