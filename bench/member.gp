# Plots the tables of docs/bench/member.txt to docs/bench/member.svg.
# usage: gnuplot bench/member.gp
cost = "< awk '$1 > 0 && NF == 9' docs/bench/member.txt"
time = "< awk '$1 > 0 && NF == 11' docs/bench/member.txt"

set terminal svg size 900,380 font "sans,12"
set output "docs/bench/member.svg"
set multiplot layout 1,2
set logscale x 2
set xlabel "instances"
set grid
set key top left

set title "Membership: bytes a second and instance"
set yrange [0:3000]
plot 2000 title "limit" with lines dashtype 2 linecolor rgb "gray40", \
     cost using 1:5 title "with the letter's changes" with linespoints, \
     cost using 1:2 title "without changes" with linespoints

set title "Time, ms"
set yrange [0:5000]
plot 4000 title "limit for a version" with lines dashtype 2 \
         linecolor rgb "gray40", \
     time using 1:3 title "a death known to all" with linespoints, \
     time using 1:2 title "a death noticed first" with linespoints, \
     time using 1:6 title "a version in force at the last, worst of 5" \
         with linespoints
unset multiplot
