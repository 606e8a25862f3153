package org.hyssopswitch.bench.configuration;

import java.util.List;

/**
 * One change of the configuration.
 *
 * @param others the encoded subtrees that have not changed
 * @param base the encoded subtree before the change
 * @param value the encoded subtree after the change
 */
record ExchangeSample(List<byte[]> others, byte[] base, byte[] value) {}
