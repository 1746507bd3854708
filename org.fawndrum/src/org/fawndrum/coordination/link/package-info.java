// SPDX-License-Identifier: Apache-2.0
/**
 * What a host knows of its own network links to endpoints, and which other host proxies a request
 * where a link is lost.
 */
package org.fawndrum.coordination.link;
