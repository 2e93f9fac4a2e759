package report

// pageSource is the template of the page. The page loads no external fonts, scripts or images, so it works offline.
const pageSource = `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
:root{--fg:#1c2430;--mute:#667085;--line:#d8dde5;--bg:#fff;--known:#cfe8d5;--accent:#2456c4}
*{box-sizing:border-box}
body{font:14px/1.45 system-ui,sans-serif;color:var(--fg);background:var(--bg);margin:24px auto;max-width:1220px;padding:0 20px}
h1{font-size:21px;margin:0 0 2px}h2{font-size:15px;margin:28px 0 8px}p{margin:4px 0;color:var(--mute)}
svg{display:block;width:100%;height:auto;border:1px solid var(--line);border-radius:6px;background:#fbfcfd}
svg text{font:11px system-ui,sans-serif;fill:var(--fg)}svg .mute{fill:var(--mute)}
.grid{stroke:var(--line);stroke-width:1}
.s-known{fill:var(--known)}.s-dead{fill:#3b3f46}.s-stopped{fill:#b9c0ca}.s-lost{fill:#f5a524}.s-damaged{fill:#c0392b}
.s-missing{fill:url(#hatch)}.s-stalled{fill:#9b7bd1}.s-not-recorded{fill:url(#dots)}
.k-node-silent{fill:#d9480f}.k-node-down{fill:#a61e4d}.k-node-slow{fill:#f2a33a}.k-node-drains{fill:#4c6ef5}.k-node-cold{fill:#0b7285}
.k-surge{fill:#7048e8}.k-discovery-down{fill:#5c3d2e}.k-refusals{fill:#e03131}.k-rollout{fill:#1c7ed6}.k-broker-drains{fill:#74a9ff}.k-broker-dead{fill:#3b3f46}
.fuzzy{fill:#fff;opacity:.55}
.blind-all{fill:url(#hatch)}.blind-some{fill:#eceff3}
.l-p50,.l-served{stroke:#2b8a3e}.l-p99{stroke:#e8590c}.l-late{stroke:#f2a33a}.l-refused{stroke:#e03131}.l-failed{stroke:#862e9c}
polyline{fill:none;stroke-width:1.6}
table{border-collapse:collapse;width:100%;font-size:13px}th,td{text-align:left;vertical-align:top;padding:5px 8px;border-bottom:1px solid var(--line)}
th{color:var(--mute);font-weight:600}td.n{text-align:right;font-variant-numeric:tabular-nums}th.n{text-align:right}
tr.hit{background:#fff6d6}tr:target{background:#e7f0ff}
.legend span{display:inline-block;margin:0 12px 4px 0;white-space:nowrap}.legend i{display:inline-block;width:12px;height:12px;border-radius:2px;margin-right:5px;vertical-align:-1px;border:1px solid #0002}
input{font:inherit;padding:6px 10px;width:320px;border:1px solid var(--line);border-radius:6px;margin-bottom:8px}
small{color:var(--mute)}pre{white-space:pre-wrap;font:12px ui-monospace,monospace;margin:0;color:var(--mute)}
.doubt{color:#b3541e}
a{color:var(--accent);text-decoration:none}
</style></head><body>
<svg width="0" height="0" style="position:absolute;border:0"><defs>
<pattern id="hatch" width="6" height="6" patternUnits="userSpaceOnUse" patternTransform="rotate(45)"><rect width="6" height="6" fill="#fff"/><line x1="0" y1="0" x2="0" y2="6" stroke="#8b95a5" stroke-width="2"/></pattern>
<pattern id="dots" width="6" height="6" patternUnits="userSpaceOnUse"><rect width="6" height="6" fill="#fff"/><circle cx="2" cy="2" r="1" fill="#aab3c0"/></pattern>
</defs></svg>
<h1>{{.Title}}</h1>
<p>{{.Span}}. {{len .Brokers}} brokers, {{len .Nodes}} nodes, {{.Events}} events, {{len .Episodes}} episodes.{{if lt .SampleFraction 1.0}} Requests were sampled: impacts count the recorded ones.{{end}}</p>

<h2>Timeline</h2>
<div class="legend">
<span><i style="background:#cfe8d5"></i>known</span><span><i style="background:#3b3f46"></i>dead</span><span><i style="background:#b9c0ca"></i>stopped</span>
<span><i style="background:#f5a524"></i>lost under load or for want of room</span><span><i style="background:#c0392b"></i>damaged</span>
<span><i style="background:repeating-linear-gradient(45deg,#8b95a5 0 2px,#fff 2px 5px)"></i>missing</span><span><i style="background:#9b7bd1"></i>stalled</span>
<span><i style="background:radial-gradient(#aab3c0 25%,#fff 30%) 0 0/5px 5px"></i>not recorded</span><span><small>pale ends of a bar: the begin or end lies somewhere in them</small></span></div>
<svg viewBox="0 0 {{.Width}} {{.Height}}" role="img" aria-label="timeline">
{{range .Ticks}}<line class="grid" x1="{{.X}}" x2="{{.X}}" y1="0" y2="{{$.Height}}"/>{{end}}
{{range .Lanes}}<text x="8" y="{{.LabelY}}">{{.Name}}</text>
{{range .Bars}}{{if .ID}}<a href="#e{{.ID}}">{{end}}<rect class="{{.Class}}" x="{{.X}}" y="{{.Y}}" width="{{.W}}" height="{{.H}}" rx="2"><title>{{.Title}}</title></rect>{{if .ID}}{{if gt .UncertainBegin 1.0}}<rect class="fuzzy" x="{{.X}}" y="{{.Y}}" width="{{.UncertainBegin}}" height="{{.H}}"/>{{end}}{{if gt .UncertainEnd 1.0}}<rect class="fuzzy" x="{{minus (plus .X .W) .UncertainEnd}}" y="{{.Y}}" width="{{.UncertainEnd}}" height="{{.H}}"/>{{end}}</a>{{end}}
{{end}}{{end}}
{{range .Ticks}}<text class="mute" x="{{.X}}" y="{{$.Height}}" dy="-6" text-anchor="middle">{{.Text}}</text>{{end}}
</svg>
{{define "plot"}}
<h2>{{.P.Title}}</h2><div class="legend">{{range .P.Lines}}<span><svg width="18" height="8" viewBox="0 0 18 8" style="display:inline;border:0;background:none;width:18px"><polyline class="{{.Class}}" points="0,4 18,4"/></svg> {{.Name}}</span>{{end}}<span><small>shaded: nothing is known of some brokers; hatched: of none</small></span></div>
<svg viewBox="0 0 {{.W}} {{.P.H}}" role="img" aria-label="{{.P.Title}}">
{{range .P.Unknown}}<rect class="{{.Class}}" x="{{.X}}" y="0" width="{{.W}}" height="{{.H}}"><title>{{.Title}}</title></rect>{{end}}
<text class="mute" x="8" y="14">{{.P.Max}}</text><text class="mute" x="8" y="{{.P.H}}" dy="-4">0</text>
{{range .P.Lines}}{{$c := .Class}}{{range .Sections}}<polyline class="{{$c}}" points="{{.}}"/>{{end}}{{end}}
</svg>{{end}}
{{template "plot" (pair .Latency .Width)}}
{{template "plot" (pair .Responses .Width)}}

<h2>Episodes</h2>
<input id="q" type="search" placeholder="Search episodes, nodes, evidence" aria-label="search">
<table id="t"><thead><tr><th>No</th><th>Episode</th><th>Who</th><th>Begin</th><th>End</th><th>Lasted</th><th class="n">Late</th><th class="n">Refused</th><th class="n">Failed</th><th class="n">Worth</th><th>Evidence</th></tr></thead><tbody>
{{range .Episodes}}<tr id="e{{.ID}}"><td>{{.ID}}</td><td>{{.Kind}}</td><td>{{.Subject}}</td><td>{{.Begin.Format}}</td><td>{{if .Open}}still going on{{else}}{{.End.Format}}{{end}}</td><td>{{duration .}}</td>
<td class="n">{{.Impact.Late}}</td><td class="n">{{.Impact.Rejected}}</td><td class="n">{{.Impact.Failed}}</td><td class="n">{{printf "%.0f" .Impact.WeightLost}}</td>
<td><pre>{{join .Evidence}}</pre>{{if .Uncertainties}}<pre class="doubt">a bound falls into a gap:
{{join .Uncertainties}}</pre>{{end}}{{if .Overlaps}}<small>with {{range .Overlaps}}<a href="#e{{.}}">{{.}}</a> {{end}}</small>{{end}}</td></tr>
{{else}}<tr><td colspan="11">No episodes.</td></tr>{{end}}
</tbody></table>

<h2>What is not known</h2>
<table><thead><tr><th>Broker</th><th>Why</th><th>From</th><th>To</th><th></th></tr></thead><tbody>
{{range .Knowledge}}{{if ne .State "known"}}<tr><td>{{.Broker}}</td><td>{{.State}}</td><td>{{clock .From}}</td><td>{{clock .To}}</td><td>{{.Text}}{{if .Events}} ({{.Events}}){{end}}</td></tr>{{end}}{{end}}
</tbody></table>

<h2>Clocks</h2>
<table><thead><tr><th>Broker</th><th>Boot</th><th class="n">Offset, ms</th><th class="n">Give or take, ms</th><th class="n">List versions in common</th><th></th></tr></thead><tbody>
{{range .Clocks}}<tr><td>{{.Broker}}</td><td>{{.IncarnationID}}</td><td class="n">{{ms .Offset}}</td><td class="n">{{ms .Error}}</td><td class="n">{{.SharedRevisions}}</td><td>{{.Text}}</td></tr>{{end}}
</tbody></table>
<script>
document.getElementById('q').addEventListener('input',function(){var q=this.value.toLowerCase();
document.querySelectorAll('#t tbody tr').forEach(function(r){r.style.display=!q||r.textContent.toLowerCase().indexOf(q)>=0?'':'none'})});
</script></body></html>
`
