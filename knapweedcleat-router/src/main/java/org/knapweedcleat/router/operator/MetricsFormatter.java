package org.knapweedcleat.router.operator;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.prometheus.client.Collector;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Formats a metric registry as Prometheus text or JSON. */
public final class MetricsFormatter {

  static final String PROMETHEUS_CONTENT_TYPE = TextFormat.CONTENT_TYPE_004;

  private final MetricRegistry metrics;
  private final DropwizardExports exports;
  private final ObjectMapper mapper;

  private MetricsFormatter(MetricRegistry metrics) {
    this.metrics = metrics;
    this.exports = new DropwizardExports(metrics);
    this.mapper =
        new ObjectMapper()
            .registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));
  }

  /**
   * Returns a formatter for a registry.
   *
   * @param metrics the registry
   * @return the formatter
   */
  public static MetricsFormatter of(MetricRegistry metrics) {
    return new MetricsFormatter(metrics);
  }

  /**
   * Returns the metrics in the Prometheus text format; the library replaces characters that are
   * invalid in metric names.
   *
   * @return the text
   */
  public String toPrometheusText() {
    List<Collector.MetricFamilySamples> families = new ArrayList<>(exports.collect());
    families.sort(Comparator.comparing(family -> family.name));
    StringWriter text = new StringWriter();
    try {
      TextFormat.write004(text, Collections.enumeration(families));
    } catch (IOException e) {
      throw new UncheckedIOException("unexpected failure of a StringWriter", e);
    }
    return text.toString();
  }

  String toJson() {
    try {
      return mapper.writeValueAsString(metrics);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize the metric registry as JSON", e);
    }
  }
}
