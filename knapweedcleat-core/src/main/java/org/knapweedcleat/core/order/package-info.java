/** Orders to model engines, derived from the configuration document and repeated until accepted. */
package org.knapweedcleat.core.order;
