import { init, type EChartsOption } from 'echarts';
import type { ExperimentResult } from './experimentResult.js';
import { getMedian, MEASURE_COLUMNS } from './table.js';

const WIDTH = 1200;
const MEASURES_HEIGHT = 320;
const TIMELINE_HEIGHT = 480;
const SHOWN_MEASURES = 5;

/** Bars of the five measures, one for each result. */
export function plotMeasures(results: readonly ExperimentResult[]): string {
  const columns = MEASURE_COLUMNS.slice(0, SHOWN_MEASURES);
  const width = 100 / columns.length;
  const grid = columns.map((_, index) => ({
    left: `${index * width + width / 5}%`,
    width: `${width * 0.7}%`,
    top: 60,
    bottom: 60,
  }));
  return render(MEASURES_HEIGHT, {
    title: columns.map(({ title }, index) => ({
      text: title,
      left: `${index * width + width / 5}%`,
      textStyle: { fontSize: 12 },
    })),
    grid,
    legend: { bottom: 5 },
    xAxis: columns.map((_, gridIndex) => ({ type: 'category', gridIndex, data: [''] })),
    yAxis: columns.map((_, gridIndex) => ({ type: 'value', gridIndex })),
    series: results.flatMap((result) =>
      columns.map(({ key }, index) => ({
        type: 'bar' as const,
        name: `${result.name} ${result.policy}`,
        xAxisIndex: index,
        yAxisIndex: index,
        data: [getMedian(result, key) ?? '-'],
      })),
    ),
  });
}

/** Served requests a second of each account over time, in the first seed's run. */
export function plotTimeline(result: ExperimentResult): string {
  return render(TIMELINE_HEIGHT, {
    title: { text: `${result.name}, ${result.policy}: served requests a second` },
    legend: { bottom: 5 },
    xAxis: { type: 'value', name: 's' },
    yAxis: { type: 'value' },
    series: result.accounts.map((account) => ({
      type: 'line' as const,
      name: account.name,
      showSymbol: false,
      data: account.timeline.map((value, step) => [(step * result.timelineStepMs) / 1000, value]),
    })),
  });
}

function render(height: number, option: EChartsOption): string {
  const chart = init(null, null, { renderer: 'svg', ssr: true, width: WIDTH, height });
  chart.setOption({ animation: false, ...option });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
