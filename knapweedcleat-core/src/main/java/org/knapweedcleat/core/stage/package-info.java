/** Distributes the engines of a service between the prefill and decode stages. */
package org.knapweedcleat.core.stage;
